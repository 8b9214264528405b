package registry

// Member is one instance.
type Member struct {
	Name string `json:"name"`
	// Incarnation tells the lives of an instance apart.
	Incarnation   string `json:"incarnation"`
	PeerAddress   string `json:"peer_address"`
	EntryAddress  string `json:"entry_address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Cores is the processor share of the instance.
	Cores   float64 `json:"cores,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// ableShare is how much of the largest instance's processor share one must have
// to count as able.
const ableShare = 0.6

// Able returns the members that are not leaving and have about the most
// processor there is. A step of two hundred streams is seconds of work for the
// smallest instances, longer than the step may take.
func Able(members []Member) []Member {
	most := 0.0
	for _, m := range members {
		if !m.Leaving {
			most = max(most, m.Cores)
		}
	}
	var able []Member
	for _, m := range members {
		if !m.Leaving && m.Cores >= ableShare*most {
			able = append(able, m)
		}
	}
	return able
}
