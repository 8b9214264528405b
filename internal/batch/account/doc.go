// Package account tells from logs how the time of each step went by.
//
//	var l account.Log
//	err := l.Read("instance.log", f)  // once for each file, in any order
//	day := l.Day()
//	err = day.Table(os.Stdout)
//	err = day.Picture(w)              // SVG
//
// A step lasts until its critical item is made: the one whose end makes the
// groups whole that the trainer waits for. Each step's time is divided among the
// causes of that item's time, and of what comes before and after it; the parts
// add up to the whole. The lower bound is what the item takes at an engine that
// has little else to do.
package account
