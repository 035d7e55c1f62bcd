package loads

// Effect is an action that the planner requests from the side process: Propose,
// Load, Unload or SetRole.
type Effect interface{ effect() }

// Propose appends an item to the loads stream.
type Propose struct{ Item Item }

// Load orders the target to load the weights of a model.
type Load struct{ Model string }

// Unload orders the target to unload the weights of a model.
type Unload struct{ Model string }

// SetRole orders the target to take a role.
type SetRole struct{ Role string }

func (Propose) effect() {}
func (Load) effect()    {}
func (Unload) effect()  {}
func (SetRole) effect() {}

// Decision is the result of one step of the planner.
type Decision struct {
	// Managed means that the catalogue lists weights for the service.
	Managed bool
	// Serve are the weights to serve requests with. They are the desired weights
	// or, until these are all loaded, the previous ones. Requests run on the last
	// element. If Serve is empty and Managed is set, the target cannot serve.
	Serve   []string
	Effects []Effect
}
