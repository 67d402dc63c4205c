# A bad day in a minute: 14 boxes in 3 racks and 2 zones, 4 fronts that share nothing, some 400 viewers, and troubles
# that overlap. Links are those of a small fleet; media is thinned to a fiftieth of its bytes.

day(length = 50, seed = 11, fronts = 4, list_lag = [0.3, 2.0], fps = 25, thin = 0.02, setup_time = 0.03)

zone(name = "building-a")
zone(name = "building-b")
kind(name = "two-core", places = 20)
ladder(rates = [250, 600, 1200, 2500])
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 1, setup_timeout = 3, floor = 1, seats = 6, share = 0.35)
group(name = "grower-guides", utility = 1, start_target = 1, setup_timeout = 5, share = 0.5)
group(name = "exam-sitting", utility = 3, start_target = 1, setup_timeout = 4, floor = 1, paid = True, share = 0.15)
fleet(links = 13 * 8000, uplink = 26000, cells = 12, racks = 3)
setups(most = 3, spare = 5, share = 0.1, window = 10, advice = 1)
drains(grace = 0.5)
cold(warm_up = 10, share = 0.4, fall_factor = 4, fall_time = 1.5)
reports(come = "answers", lag = 1, notes_every = 3)

for i in range(13):
    box(id = 1 + i, cell = i % 12, zone = "building-a" if i % 2 == 0 else "building-b", link = 7000 + 500 * (i % 5))
box(id = 20, cell = 4, zone = "building-a", link = 8000, starts = 22)

for i in range(12):
    title(name = "title-%d" % i, start_cell = i, span = 5, length = 300, wanted = 1.0 / (1 + i))

viewers(rate = 8, watch = [4, 12], again = 0.8, pause = [0.6, 1.9])

crowd(at = 8, length = 8, times = 1.8)
hang(at = 5, box = 2, length = 12)
hold(at = 30, box = 8, length = 6)
slow(at = 10, box = 5, times = 3, length = 15)
short_rack(at = 16, rack = 1, times = 2, length = 12)
drain(at = 14, box = 4, length = 12)
silent(at = 18, box = 9, length = 10)
refuse(at = 6, box = 7, length = 14)
errors(at = 24, box = 11, count = 6)
late_reports(at = 20, by = 4, length = 15)
foreign(at = 34, box = 1, share = 0.6, length = 8)
ageing(at = 26, box = 12, times = 30, length = 12)
cut_zone(at = 40, zone = "building-b", length = 4)
restart_front(at = 20, front = 2, length = 2)
reload_front(at = 8, front = 0)
reload_front(at = 28, front = 3)
kill(at = 36, box = 6, length = 5)
