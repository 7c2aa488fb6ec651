"""Open-loop load: a schedule made ahead by a clock (`schedule`), and a client that keeps to it (`client`)."""
