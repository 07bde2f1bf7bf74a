// Command drawday prints a day, drawn by seed, in which series of disruptions overlap. It favors
// what ends responses, so that a stream can meet a break, a failed resumption and something else
// within its few seconds.
//
//	drawday --seed 7 --disruptions 8-18 > day.toml
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "drawday", Usage: "draw a day of overlapping disruptions",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "the same seed draws the same day", Required: true},
			&cli.StringFlag{Name: "disruptions", Value: "8-18", Usage: "MIN-MAX: how many"},
			&cli.FloatFlag{Name: "length", Usage: "seconds of traffic; 0 draws 10 to 16"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var least, most int
			if _, err := fmt.Sscanf(c.String("disruptions"), "%d-%d", &least, &most); err != nil || least < 2 || most < least {
				return errors.Errorf("--disruptions %s: use MIN-MAX, MIN at least 2", c.String("disruptions"))
			}
			if length := c.Float("length"); length != 0 && length < 6 {
				return errors.Errorf("--length %g: use 0, or 6 or more", length)
			}
			fmt.Print(draw(c.Uint64("seed"), least, most, c.Float("length")))
			return nil
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "drawday:", err)
		os.Exit(1)
	}
}

// In a field, <1..2> is a value from a range and <a|b> one of several texts; @s is the service.
const (
	greys = "errors|errors|shed|busy|hang|reset|mute|slow|errors one_zone|hang one_zone"

	// Streams break off all day, and servers fail when they resume them.
	broken = `kind = "garble", service = "@s", share = <0.4..0.8>, x = <0.1..0.35>, for_s = <%g..%g>, how = "<||extra|unframed>"`
	grey   = `kind = "srv_grey", service = "@s", share = <0.2..0.6>, x = <0.3..0.8>, for_s = <%g..%g>, how = "<` + greys + `>"`
)

var closings = []string{
	``, ``, `kind = "kill_all"`, `kind = "power_off_all"`, `kind = "power_off_all", how = "all"`,
	`kind = "wipe_after_ack"`, `kind = "wipe_after_ack", how = "timed"`, `kind = "wipe_after_ack", how = "taken"`,
}

var disruptions = []struct {
	weight  int
	planned bool
	fields  string
}{
	{14, false, `kind = "garble", service = "@s", share = <0.3..0.8>, x = <0.05..0.4>, for_s = <2..8>, how = "<||extra|extra late|unframed|unframed extra|early|rot>"`},
	{16, false, `kind = "srv_grey", service = "@s", share = <0.15..0.6>, x = <0.3..0.9>, for_s = <2..6>, how = "<` + greys + `>"`},
	{12, false, `kind = "srv_crash", service = "@s", share = <0.06..0.25>, for_s = <0.5..3>, how = "<|dark|gone|domain|joined|rack|across>"`},
	{7, false, `kind = "srv_slow", service = "@s", share = <0.1..0.3>, x = <3..10>, for_s = <1..4>`},
	{8, false, `kind = "srv_cut", service = "@s", share = <0.1..0.3>, x = <0.2..0.5>, for_s = <1..4>, how = "<|fronts|some|some lossy|one_way|reset|reborn>"`},
	{5, false, `kind = "replace_with_reuse", service = "@s", share = <0.1..0.3>, how = "<|drain|dark|side>"`},
	{7, false, `kind = "answer_lost", service = "@s", share = <0.4..0.8>, x = <0.05..0.4>, for_s = <1..4>, how = "<|reset>"`},
	{6, false, `kind = "reset_conns", share = <0.2..0.6>, x = <0.3..0.8>`},
	{6, true, `kind = "roll_term", share = <0.4..1>, x = <1..2>, gap_s = <0.3..1>, how = "<busy|busy||leader>"`},
	{6, false, `kind = "node_kill", share = <0.1..0.3>, for_s = <1..4>, how = "<|power|leader|meet drain>"`},
	{6, false, `kind = "node_freeze", share = <0.1..0.3>, for_s = <1..4>, how = "<||renewed|giver>"`},
	{3, false, `kind = "node_slow", share = <0.1..0.3>, x = <3..8>, for_s = <1..4>`},
	{5, false, `kind = "node_cut", share = <0.1..0.3>, for_s = <1..4>, how = "<|all|servers|servers reborn|reset|refuse>"`},
	{4, false, `kind = "zone_cut", zone = "@z<0|1|2>", for_s = <1..4>, how = "<|reset|refuse|meet>"`},
	{4, false, `kind = "lossy", zone = "@z<0|1|2>", x = <0.02..0.1>, for_s = <1..4>`},
	{4, true, `kind = "release", service = "@s", share = <0.2..0.6>, x = <1..2>, gap_s = <0.3..1>`},
	{5, true, `kind = "scale_in", service = "@s", share = <0.1..0.3>, x = <0.5..2>, for_s = <1..4>, how = "<spot|spot||reclaim>"`},
	{4, false, `kind = "give_up", share = <0.2..0.5>, for_s = <1..4>, how = "<|once>"`},
	{3, false, `kind = "retry_abuse", share = <0.2..0.5>, x = <2..3>, for_s = <1..4>`},
	{3, false, `kind = "burst", x = <1.3..1.8>, for_s = <1..4>`},
	{7, true, `kind = "config_change", how = "<route|timeout|weights|tenant>"`},
	{2, true, `kind = "config_storm", for_s = <1..4>, gap_s = <0.2..0.5>`},
	{3, true, `kind = "revoke", gap_s = <0.3..1>, count = <1|2|3>, how = "<|last>"`},
	{2, true, `kind = "hup", share = <0.3..0.8>, gap_s = <0.3..1>`},
	{3, false, `kind = "applied_late", x = <0.2..0.6>, for_s = <1..4>`},
	{6, false, `kind = "platform_down", for_s = <1..4>, how = "<silent|busy|reset|silent lapse|nodes busy|nodes many|nodes reset revoke meet|nodes leader silent>"`},
	{2, false, `kind = "platform_slow", x = <30..80>, for_s = <1..4>`},
	{2, false, `kind = "platform_lost", x = <0.2..0.5>, for_s = <1..4>, how = "<|late>"`},
	{2, false, `kind = "platform_compact", x = <2..5>, for_s = <1..2>, how = "<|rebalance|rewind|drain keyed>"`},
}

// draw returns a day with least to most disruptions; length 0 is drawn too.
func draw(seed uint64, least, most int, length float64) string {
	r := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most float64) float64 { return least + r.Float64()*(most-least) }
	choice := regexp.MustCompile(`<[^>]*>`)
	entry := func(fields string, at float64, service string) string {
		fields = choice.ReplaceAllStringFunc(fields, func(text string) string {
			text = strings.Trim(text, "<>")
			if low, high, isRange := strings.Cut(text, ".."); isRange {
				return fmt.Sprintf("%.2f", between(number(low), number(high)))
			}
			texts := strings.Split(text, "|")
			return texts[r.IntN(len(texts))]
		})
		if strings.Contains(fields, "one_zone") {
			fields += fmt.Sprintf(`, to_zone = "@z%d"`, r.IntN(3))
		}
		fields = strings.NewReplacer(`, how = ""`, "", "@s", service).Replace(fields)
		return fmt.Sprintf("  { at = %.2f, %s },\n", at, fields)
	}

	if length == 0 {
		length = between(10, 16)
	}
	moments := make([]float64, 3+r.IntN(3))
	for i := range moments {
		moments[i] = between(1, length-2.5)
	}
	faults := entry(fmt.Sprintf(broken, length-3, length-2), 1.5, "@s0")
	faults += entry(fmt.Sprintf(grey, length-5, length-3), 2, "@s0")
	var plan string
	total := 0
	for _, d := range disruptions {
		total += d.weight
	}
	for range least + r.IntN(most-least+1) - 2 {
		i := 0
		for weight := r.IntN(total); weight >= disruptions[i].weight; i++ {
			weight -= disruptions[i].weight
		}
		at := moments[r.IntN(len(moments))]
		if r.IntN(10) < 3 {
			at += between(0, 1.2)
		}
		service := "@s0"
		if r.IntN(10) < 3 {
			service = "@s1"
		}
		if line := entry(disruptions[i].fields, at, service); disruptions[i].planned {
			plan += line
		} else {
			faults += line
		}
	}
	closing := closings[r.IntN(len(closings))]
	if closing != "" {
		closing = fmt.Sprintf("closing = { %s, down_s = %.2f }\n", closing, between(0.6, 1.6))
	}
	return fmt.Sprintf("name = \"drawn_%d\"\nseed = %d\nlength_s = %.1f\n%sfaults = [\n%s]\nplan = [\n%s]\n", seed, seed, length, closing, faults, plan)
}

func number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return value
}
