package executor

import (
	"fmt"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
)

// costRatios are the upper bounds of the ratios of actual to predicted slot times that are counted apart.
var costRatios = []float64{0.25, 0.5, 1, 2, 4}

// answeredCost is the predicted and the actual slot time of an answered request.
type answeredCost struct {
	route             string
	predicted, actual time.Duration
}

// costOf returns the cost of a request that ends with the outcome, or the zero value if it says
// nothing about predictions. ex.mu must be held.
func (ex *Executor) costOf(id uint64, o scheduler.Outcome) answeredCost {
	if o != scheduler.Answered {
		return answeredCost{}
	}
	route, predicted, ran := ex.scheduler.Prediction(time.Now(), id)
	return answeredCost{route, predicted, ran}
}

// recordCost counts a request by the ratio of its actual slot time to the predicted one, and logs when
// placement by likely cost begins or ends. ex.mu must be held.
func (ex *Executor) recordCost(c answeredCost) {
	if ex.Count != nil && c.predicted > 0 {
		bound, ratio := "+Inf", float64(c.actual)/float64(c.predicted)
		for _, b := range costRatios {
			if ratio <= b {
				bound = fmt.Sprint(b)
				break
			}
		}
		ex.Count(fmt.Sprintf("slot_time_ratios_total{route=%q,upto=%q}", c.route, bound))
	}
	byWork, spread := ex.scheduler.PlacesByWork()
	if byWork == ex.byWork {
		return
	}
	ex.byWork = byWork
	ex.Log.Info().Bool("ByWork", byWork).Float64("Spread", spread).Msg("placement by likely cost changed")
	if ex.Count != nil {
		ex.Count(fmt.Sprintf("placement_changes_total{by_work=%q}", fmt.Sprint(byWork)))
	}
}

// pathOf returns a target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
