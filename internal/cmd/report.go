package cmd

// ospreymoor report burn
type reportCommand struct {
	Burn reportBurnCommand `cmd:"" help:"Report served within target, error budget and burn rates of the customer's models."`
}
