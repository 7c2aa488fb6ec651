"""Known defects of the control plane and the data plane, which simulations must detect."""
