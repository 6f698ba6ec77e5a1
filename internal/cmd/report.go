package cmd

// reportCommand groups the commands that print reports.
//
//	ospreymoor report burn|crashes|requests
type reportCommand struct {
	Requests reportRequestsCommand `cmd:"" help:"Report how requests ended, by the logs of boxes on the users' platform."`
	Crashes  reportCrashesCommand  `cmd:"" help:"Report the requests under which upstreams crashed, by the logs of boxes on the users' platform."`
	Burn     reportBurnCommand     `cmd:"" help:"Report served within target, error budget and burn rates of the customer's models."`
}
