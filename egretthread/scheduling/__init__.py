"""Jobs of steps on backend servers with room: rules, boards and engines."""
