"""Known defects of the control plane and the data plane, each of which a simulation must find."""
