"""Open-loop load: a schedule made before the run (`schedule`), and a client that sends it (`client`)."""
