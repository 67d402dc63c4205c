package soak

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// The files of an unclean soak's evidence, beside the nodes' configurations and logs.
const (
	commandFile = "command.txt"
	reportFile  = "report.txt"
	recordsFile = "records.txt"
)

// Keep writes the command line, the report and all records of a soak into a folder. It returns the first error of a write.
func (r *Report) Keep(folder string, command []string) error {
	for name, write := range map[string]func(io.Writer) error{
		commandFile: func(w io.Writer) error { return writeCommand(w, command) },
		reportFile:  func(w io.Writer) error { r.Write(w); return nil },
		recordsFile: r.writeRecords,
	} {
		if err := writeFile(filepath.Join(folder, name), write); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates a file and writes it through a buffer.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	buffered := bufio.NewWriter(f)
	if err := write(buffered); err != nil {
		return err
	}
	return buffered.Flush()
}

// writeCommand writes a command line that a shell reads as the same arguments.
func writeCommand(w io.Writer, command []string) error {
	var quoted []string
	for _, argument := range command {
		if strings.ContainsAny(argument, " '\"$\\") || argument == "" {
			argument = "'" + strings.ReplaceAll(argument, "'", `'\''`) + "'"
		}
		quoted = append(quoted, argument)
	}
	_, err := fmt.Fprintln(w, strings.Join(quoted, " "))
	return err
}

// writeRecords writes all records in order of time, a line each.
func (r *Report) writeRecords(w io.Writer) error {
	for i, record := range r.records {
		if _, err := fmt.Fprintln(w, strconv.Itoa(i), record); err != nil {
			return err
		}
	}
	return nil
}
