// Package steptime reconstructs from logs how the time of each trainer step was spent.
// Log reads the lines of the instances, Report is the account of all steps in them, Step
// that of one, and Cause what a part of a step's time was spent on.
//
//	var l steptime.Log
//	err := l.Read("instance.log", f) // once for each file, in any order
//	report, err := l.Report()
//	err = report.WriteTable(os.Stdout)
//	err = report.WriteSVG(w) // one bar for each step
//
// A step lasts until its critical item is finished: the item that completes the last of
// the groups that the trainer waits for. The time of each step is divided among the
// causes of that item's time and of the time before and after it; the parts add up to
// the whole time. The lower bound of a step is the time that its critical item takes at
// an engine that has little else to do.
package steptime
