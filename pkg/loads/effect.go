package loads

// Effect is what a side process has to do: Propose, Load, Unload or SetRole.
type Effect interface{ effect() }

// Propose appends an item to the loads stream.
type Propose struct{ Item Item }

// Load orders the target to load weights.
type Load struct{ Model string }

// Unload orders the target to give weights up.
type Unload struct{ Model string }

// SetRole orders the target to take a role.
type SetRole struct{ Role string }

func (Propose) effect() {}
func (Load) effect()    {}
func (Unload) effect()  {}
func (SetRole) effect() {}

// Decision is the outcome of one step of the planner.
type Decision struct {
	// Managed says that the catalogue names weights for the service.
	Managed bool
	// Serve are the weights that requests are to run on: those wanted or, until
	// they are all loaded, those before. Requests run on the last. Where it is empty and Managed is set, the target can't serve.
	Serve   []string
	Effects []Effect
}
