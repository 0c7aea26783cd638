// Command days writes files that describe fault scenarios. Each scenario combines
// kinds of faults that the standard scenarios leave out with graceful shutdowns, kills,
// configuration changes, revoked keys and a store that can't be read. "@c0", "@s0"
// and "@z0" stand for a deployment's first kind of request, service and zone. The files
// are kept in deploy/days, so that every fault-injection run on every deployment
// includes them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// scenario is the content of one file: planned operations and faults, each an element
// of the file's list.
type scenario struct {
	name   string
	plan   []string
	faults []string
}

// scenarios are the scenarios to write. Times are in seconds from the start of traffic.
var scenarios = []scenario{
	{"slow-workers", []string{`{ at = 4.0, kind = "release", share = 0.3, x = 1.0, gap_s = 1.0 }`},
		[]string{`{ at = 2.0, kind = "srv_slow", share = 0.3, x = 4.0, for_s = 8.0 }`, `{ at = 12.0, kind = "srv_grey", how = "slow", share = 0.3, x = 8.0, for_s = 8.0 }`,
			`{ at = 22.0, kind = "srv_grey", how = "hang", share = 0.3, x = 0.3, for_s = 6.0 }`}},
	{"cut-workers", []string{`{ at = 9.0, kind = "config_change", how = "weights" }`},
		[]string{`{ at = 1.0, kind = "srv_cut", share = 0.25, for_s = 5.0 }`, `{ at = 8.0, kind = "srv_cut", how = "fronts", share = 0.3, x = 0.5, for_s = 5.0 }`,
			`{ at = 15.0, kind = "srv_cut", how = "some one_way", share = 0.3, x = 0.4, for_s = 5.0 }`, `{ at = 22.0, kind = "srv_cut", how = "reborn", share = 0.25, for_s = 5.0 }`}},
	{"lossy-workers", []string{`{ at = 10.0, kind = "revoke", count = 3, gap_s = 0.5 }`},
		[]string{`{ at = 3.0, kind = "srv_cut", how = "some lossy", share = 0.4, x = 0.5, for_s = 8.0 }`, `{ at = 14.0, kind = "srv_cut", how = "reset fronts", share = 0.3, x = 0.5, for_s = 6.0 }`,
			`{ at = 24.0, kind = "lossy", x = 0.05, for_s = 6.0 }`}},
	{"reused-addresses", []string{`{ at = 14.0, kind = "config_change", how = "route" }`, `{ at = 18.0, kind = "scale_in", share = 0.2, how = "spot", x = 2.0 }`},
		[]string{`{ at = 2.0, kind = "replace_with_reuse", share = 0.2 }`, `{ at = 8.0, kind = "replace_with_reuse", share = 0.2, how = "dark" }`,
			`{ at = 16.0, kind = "replace_with_reuse", share = 0.2, how = "drain" }`, `{ at = 15.0, kind = "platform_down", how = "silent", for_s = 5.0 }`}},
	{"clocks", []string{`{ at = 6.0, kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.0 }`, `{ at = 5.0, kind = "config_storm", for_s = 4.0, gap_s = 0.4 }`},
		[]string{`{ at = 2.0, kind = "clock_step", x = 5000, share = 0.6, for_s = 6.0, how = "ahead" }`, `{ at = 12.0, kind = "clock_step", x = 5000, share = 0.6, for_s = 6.0, how = "back" }`,
			`{ at = 20.0, kind = "node_freeze", share = 0.4, for_s = 3.0 }`}},
	{"resets", []string{`{ at = 8.0, kind = "hup", share = 1.0, gap_s = 0.5 }`, `{ at = 3.0, kind = "revoke", count = 2, gap_s = 1.0 }`},
		[]string{`{ at = 2.0, kind = "reset_conns", share = 0.6, x = 0.7 }`, `{ at = 10.0, kind = "reset_conns", share = 1.0, x = 1.0 }`,
			`{ at = 16.0, kind = "node_cut", how = "reset", share = 0.4, for_s = 5.0 }`, `{ at = 24.0, kind = "reset_conns", share = 0.5, x = 0.5 }`}},
	{"slow-hosts", []string{`{ at = 5.0, kind = "big_config", count = 400 }`, `{ at = 15.0, kind = "scale_out", share = 0.4, gap_s = 1.0 }`},
		[]string{`{ at = 2.0, kind = "node_slow", share = 0.5, x = 5.0, for_s = 8.0 }`, `{ at = 14.0, kind = "node_slow", share = 0.5, x = 10.0, for_s = 5.0 }`,
			`{ at = 22.0, kind = "burst", x = 2.0, for_s = 4.0 }`}},
	{"store", []string{`{ at = 3.0, kind = "release", share = 0.4, x = 1.0, gap_s = 1.0 }`, `{ at = 17.0, kind = "config_change", how = "tenant" }`, `{ at = 24.0, kind = "revoke", count = 2, gap_s = 1.0, how = "last" }`},
		[]string{`{ at = 2.0, kind = "platform_down", how = "lapse busy", for_s = 5.0 }`, `{ at = 12.0, kind = "platform_compact", x = 5.0, for_s = 6.0, how = "drain" }`,
			`{ at = 20.0, kind = "platform_slow", x = 100.0, for_s = 4.0 }`, `{ at = 26.0, kind = "platform_down", how = "nodes reset revoke meet", share = 0.5, for_s = 5.0 }`}},
	{"store-silent", []string{`{ at = 4.0, kind = "scale_in", share = 0.2 }`, `{ at = 5.0, kind = "roll_term", share = 0.6, gap_s = 1.0 }`, `{ at = 20.0, kind = "roll_term", how = "busy", gap_s = 1.0 }`},
		[]string{`{ at = 2.0, kind = "platform_down", how = "silent lapse", for_s = 6.0 }`, `{ at = 12.0, kind = "core_cut", count = 3, for_s = 5.0 }`,
			`{ at = 19.0, kind = "platform_lost", x = 0.5, for_s = 5.0 }`}},
	{"kills", []string{`{ at = 6.0, kind = "config_change", how = "timeout" }`, `{ at = 16.0, kind = "config_change", how = "idle" }`},
		[]string{`{ at = 3.0, kind = "herd_kill", share = 0.8 }`, `{ at = 10.0, kind = "after_ack_kill", for_s = 2.0 }`, `{ at = 15.0, kind = "herd_kill", share = 1.0, how = "power", for_s = 1.0 }`,
			`{ at = 22.0, kind = "srv_crash", share = 0.4, for_s = 4.0, how = "dark" }`, `{ at = 25.0, kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 5.0 }`}},
	{"garbled", []string{`{ at = 12.0, kind = "config_change", how = "weights" }`},
		[]string{`{ at = 2.0, kind = "garble", share = 0.6, x = 0.1, for_s = 5.0 }`, `{ at = 8.0, kind = "garble", how = "extra late", share = 0.6, x = 0.1, for_s = 5.0 }`,
			`{ at = 14.0, kind = "garble", how = "unframed", share = 0.6, x = 0.1, for_s = 5.0 }`, `{ at = 20.0, kind = "garble", how = "early", share = 0.6, x = 0.1, for_s = 5.0 }`,
			`{ at = 26.0, kind = "answer_lost", share = 0.6, x = 0.2, for_s = 4.0 }`}},
	{"orders-late", []string{`{ at = 20.0, kind = "scale_in", share = 0.3, how = "reclaim", x = 2.5, for_s = 4.0 }`},
		[]string{`{ at = 1.0, kind = "applied_late", x = 0.6, for_s = 12.0 }`, `{ at = 3.0, kind = "node_kill", on = "core", count = 1, how = "giver" }`, `{ at = 6.0, kind = "node_kill", on = "core", count = 1, how = "giver" }`,
			`{ at = 8.0, kind = "node_freeze", on = "core", count = 2, for_s = 4.0, how = "giver" }`, `{ at = 15.0, kind = "srv_grey", how = "mute", share = 0.3, x = 0.3, for_s = 5.0 }`,
			`{ at = 22.0, kind = "give_up", share = 0.4, for_s = 6.0 }`}},
	{"back-under-the-old-id", []string{`{ at = 15.0, kind = "config_change", how = "weights" }`},
		[]string{`{ at = 2.0, kind = "srv_cut", how = "reborn", share = 0.3, for_s = 3.0 }`, `{ at = 3.0, kind = "burst", class = "@c0", x = 2.5, for_s = 8.0 }`,
			`{ at = 9.0, kind = "srv_flap", service = "@s0", share = 0.2, gap_s = 1.2, for_s = 8.0 }`, `{ at = 18.0, kind = "srv_cut", how = "reborn", share = 0.3, for_s = 2.0 }`,
			`{ at = 21.0, kind = "srv_cut", how = "reborn", share = 0.3, for_s = 2.0 }`, `{ at = 24.0, kind = "applied_late", x = 0.4, for_s = 5.0 }`}},
	{"restarts-in-a-burst", []string{`{ at = 3.0, kind = "roll_term", share = 0.35, x = 3.0, gap_s = 1.0 }`, `{ at = 6.0, kind = "config_storm", for_s = 3.0, gap_s = 0.25 }`, `{ at = 20.0, kind = "roll_term", share = 0.5, x = 6.0, gap_s = 1.0 }`},
		[]string{`{ at = 2.0, kind = "burst", class = "@c0", x = 2.5, for_s = 9.0 }`, `{ at = 19.0, kind = "burst", x = 1.6, for_s = 6.0 }`}},
	{"readers-killed", []string{`{ at = 4.5, kind = "config_change", how = "tenant" }`, `{ at = 8.5, kind = "revoke", count = 2, gap_s = 0.5 }`, `{ at = 13.0, kind = "scale_in", share = 0.1 }`, `{ at = 18.0, kind = "config_storm", for_s = 3.0, gap_s = 0.3 }`},
		[]string{`{ at = 4.0, kind = "node_kill", on = "core", count = 2, how = "reader" }`, `{ at = 8.0, kind = "node_freeze", on = "core", count = 3, for_s = 4.0, how = "reader" }`,
			`{ at = 13.0, kind = "core_cut", count = 3, for_s = 5.0, how = "reader" }`, `{ at = 18.0, kind = "node_kill", on = "core", count = 3, how = "reader power", for_s = 3.0 }`,
			`{ at = 23.0, kind = "core_cut", count = 4, for_s = 4.0, how = "reader one_way" }`}},
	{"versions-beside-lost-readers", []string{`{ at = 4.3, kind = "config_change", how = "route" }`, `{ at = 6.0, kind = "config_change", how = "route" }`, `{ at = 9.3, kind = "config_storm", for_s = 4.0, gap_s = 0.5 }`, `{ at = 15.2, kind = "config_change", how = "route" }`, `{ at = 17.2, kind = "config_change", how = "tenant" }`, `{ at = 20.2, kind = "config_storm", for_s = 4.0, gap_s = 0.5 }`, `{ at = 25.1, kind = "config_change", how = "route" }`},
		[]string{`{ at = 4.0, kind = "node_freeze", on = "core", count = 3, for_s = 3.0, how = "reader" }`, `{ at = 5.9, kind = "platform_compact", x = 3.0, for_s = 2.0 }`, `{ at = 9.0, kind = "node_kill", on = "core", count = 3, how = "reader" }`, `{ at = 9.6, kind = "platform_down", how = "nodes silent", share = 0.35, for_s = 3.0 }`, `{ at = 15.0, kind = "core_cut", count = 3, for_s = 3.0, how = "reader" }`, `{ at = 15.1, kind = "reset_conns", share = 0.3, x = 1.0 }`, `{ at = 17.0, kind = "node_freeze", on = "core", count = 3, for_s = 2.0, how = "reader" }`, `{ at = 20.0, kind = "platform_compact", x = 3.0, for_s = 3.0 }`, `{ at = 21.0, kind = "node_kill", on = "core", count = 3, how = "reader power", for_s = 3.0 }`, `{ at = 25.0, kind = "core_cut", count = 4, for_s = 4.0, how = "reader one_way" }`}},
	{"versions-beside-restarts", []string{`{ at = 4.0, kind = "config_storm", for_s = 22.0, gap_s = 1.1 }`, `{ at = 5.0, kind = "roll_term", share = 0.7, gap_s = 0.7 }`},
		[]string{`{ at = 4.2, kind = "node_freeze", on = "core", count = 2, for_s = 2.0, how = "reader" }`, `{ at = 7.2, kind = "node_freeze", on = "core", count = 2, for_s = 2.0, how = "reader" }`, `{ at = 10.2, kind = "node_freeze", on = "core", count = 2, for_s = 2.0, how = "reader" }`, `{ at = 13.2, kind = "node_kill", on = "core", count = 2, how = "reader" }`, `{ at = 16.2, kind = "platform_down", how = "nodes busy leader", share = 0.35, for_s = 3.0 }`, `{ at = 19.2, kind = "platform_compact", x = 2.0, for_s = 3.0 }`, `{ at = 22.2, kind = "node_kill", on = "core", count = 2, how = "reader" }`, `{ at = 23.2, kind = "node_kill", on = "core", count = 2, how = "reader" }`, `{ at = 24.2, kind = "node_kill", on = "core", count = 2, how = "reader" }`}},
	{"a-zone-without-servers", []string{`{ at = 20.0, kind = "config_change", how = "weights" }`},
		[]string{`{ at = 5.0, kind = "srv_crash", service = "@s0", how = "domain", for_s = 8.0 }`, `{ at = 18.0, kind = "srv_crash", service = "@s0", zone = "@z0", share = 1.0, how = "dark", for_s = 8.0 }`}},
	{"crashes-in-a-row", []string{`{ at = 12.0, kind = "config_change", how = "timeout" }`},
		[]string{`{ at = 2.0, kind = "hot_key", share = 0.6, for_s = 26.0 }`, `{ at = 3.0, kind = "srv_crash", share = 0.5, for_s = 2.0 }`, `{ at = 6.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`,
			`{ at = 8.0, kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 16.0 }`, `{ at = 9.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`, `{ at = 11.0, kind = "srv_crash", how = "rack", for_s = 2.0 }`,
			`{ at = 13.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`, `{ at = 16.0, kind = "srv_crash", share = 0.9, for_s = 1.5 }`, `{ at = 17.0, kind = "herd_kill", share = 0.5 }`,
			`{ at = 20.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`, `{ at = 23.0, kind = "srv_crash", service = "@s0", how = "domain", for_s = 2.0 }`}},
	{"left-by-callers", []string{`{ at = 12.0, kind = "config_change", how = "timeout" }`},
		[]string{`{ at = 2.0, kind = "give_up", share = 0.5, for_s = 26.0 }`, `{ at = 4.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`, `{ at = 8.0, kind = "burst", x = 1.6, for_s = 4.0 }`,
			`{ at = 13.0, kind = "srv_grey", how = "hang", share = 0.3, for_s = 4.0 }`, `{ at = 18.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`,
			`{ at = 22.0, kind = "srv_crash", share = 0.5, for_s = 1.5 }`}},
	{"deadly-beside-stops", []string{`{ at = 6.0, kind = "roll_term", share = 0.6, gap_s = 1.0, how = "busy" }`, `{ at = 18.0, kind = "config_change", how = "timeout" }`},
		[]string{`{ at = 3.0, kind = "poison", how = "deadly", class = "@c0", share = 0.03, for_s = 10.0 }`, `{ at = 16.0, kind = "poison", how = "deadly", class = "@c0", share = 0.06, for_s = 12.0 }`,
			`{ at = 20.0, kind = "herd_kill", share = 0.5 }`}},
	{"deadly-few-and-many", []string{`{ at = 20.0, kind = "hup", share = 1.0, gap_s = 0.5 }`},
		[]string{`{ at = 1.0, kind = "poison", how = "deadly", class = "@c0", share = 0.005, for_s = 12.0 }`, `{ at = 15.0, kind = "poison", how = "deadly", class = "@c0", share = 0.15, for_s = 6.0 }`,
			`{ at = 24.0, kind = "poison", how = "deadly", class = "@c0", share = 0.03, for_s = 8.0 }`, `{ at = 26.0, kind = "give_up", share = 0.5, for_s = 6.0 }`}},
	{"stops-in-turn", []string{`{ at = 3.0, kind = "roll_term", share = 1.0, gap_s = 0.8, how = "busy" }`, `{ at = 24.0, kind = "roll_term", share = 0.5, x = 2.0, gap_s = 1.0, how = "busy" }`},
		[]string{`{ at = 31.0, kind = "burst", x = 1.2, for_s = 2.0 }`}},
	{"a-zone-cut-off", []string{`{ at = 7.0, kind = "config_change", how = "tenant" }`, `{ at = 17.0, kind = "scale_in", share = 0.1 }`},
		[]string{`{ at = 5.0, kind = "node_cut", zone = "@z0", share = 1.0, for_s = 5.0 }`, `{ at = 15.0, kind = "node_cut", zone = "@z0", share = 1.0, for_s = 5.0, how = "all" }`,
			`{ at = 24.0, kind = "lossy", zone = "@z0", x = 0.1, for_s = 6.0 }`}},
	{"busy-small-hosts", []string{`{ at = 4.0, kind = "big_config", count = 1000 }`, `{ at = 10.0, kind = "config_storm", for_s = 4.0, gap_s = 0.3 }`, `{ at = 17.0, kind = "hup", share = 1.0, gap_s = 1.0 }`},
		[]string{`{ at = 3.0, kind = "lossy", x = 0.08, for_s = 8.0 }`, `{ at = 9.0, kind = "burst", class = "@c0", x = 2.5, for_s = 6.0 }`, `{ at = 16.0, kind = "node_slow", share = 0.4, x = 4.0, for_s = 6.0 }`,
			`{ at = 22.0, kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 6.0 }`}},
	{"zone-evacuated-beside-stops", []string{`{ at = 3.0, kind = "evacuate", zone = "@z0", for_s = 8.0 }`, `{ at = 2.5, kind = "roll_term", share = 0.6, gap_s = 1.0, how = "busy" }`,
		`{ at = 18.0, kind = "evacuate", for_s = 5.0, how = "warm" }`, `{ at = 19.0, kind = "config_storm", for_s = 3.0, gap_s = 0.3 }`},
		[]string{`{ at = 5.0, kind = "burst", class = "@c0", x = 2.0, for_s = 8.0 }`, `{ at = 19.0, kind = "node_kill", on = "core", count = 3, how = "reader" }`}},
	{"zone-evacuated-beside-a-store-away", []string{`{ at = 4.0, kind = "evacuate", zone = "@z0", for_s = 9.0 }`, `{ at = 21.0, kind = "evacuate", for_s = 4.0 }`},
		[]string{`{ at = 1.0, kind = "platform_down", how = "nodes many", share = 0.35, for_s = 8.0 }`, `{ at = 12.0, kind = "platform_down", how = "silent", for_s = 4.0 }`,
			`{ at = 20.0, kind = "core_cut", count = 4, for_s = 4.0, how = "reader" }`, `{ at = 27.0, kind = "platform_slow", x = 60.0, for_s = 4.0 }`}},
	{"zones-evacuated-in-a-row", []string{`{ at = 2.0, kind = "evacuate", zone = "@z0", for_s = 4.0 }`, `{ at = 7.0, kind = "evacuate", zone = "@z0", for_s = 4.0 }`,
		`{ at = 14.0, kind = "evacuate", zone = "@z0", for_s = 9.0, how = "warm" }`, `{ at = 15.0, kind = "evacuate", for_s = 7.0 }`, `{ at = 16.0, kind = "evacuate", for_s = 5.0 }`},
		[]string{`{ at = 6.0, kind = "herd_kill", share = 0.8 }`, `{ at = 22.0, kind = "node_freeze", share = 0.3, for_s = 3.0 }`}},
	{"cold-beside-a-burst", []string{`{ at = 3.0, kind = "evacuate", zone = "@z0", for_s = 5.0 }`},
		[]string{`{ at = 7.0, kind = "burst", class = "@c0", x = 2.5, for_s = 8.0 }`, `{ at = 15.0, kind = "cold_return", for_s = 3.0 }`, `{ at = 17.0, kind = "burst", x = 2.0, for_s = 6.0 }`,
			`{ at = 17.5, kind = "herd_kill", share = 1.0 }`, `{ at = 24.0, kind = "cold_return", zone = "@z0", for_s = 2.0, how = "dark" }`, `{ at = 26.0, kind = "node_cut", share = 0.4, for_s = 4.0 }`}},
}

// text returns the scenario as TOML.
func (s scenario) text() string {
	return fmt.Sprintf("name = %q\nslot = \"trouble\"\nseed = 7\none = 0.6\nzero = 0.1\ngoal = { floor = 0.0 }\nlabels = []\nwall = 2.0\nlight = true\nplan = [\n  %s,\n]\nfaults = [\n  %s,\n]\n",
		s.name, strings.Join(s.plan, ",\n  "), strings.Join(s.faults, ",\n  "))
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: days FOLDER")
		os.Exit(2)
	}
	for _, s := range scenarios {
		path := filepath.Join(os.Args[1], s.name+".toml")
		if err := os.WriteFile(path, []byte(s.text()), 0o644); err != nil {
			fmt.Fprintf(os.Stderr, "days: %v\n", err)
			os.Exit(1)
		}
		fmt.Println(path)
	}
}
