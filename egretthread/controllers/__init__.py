"""Controllers: functions that read and write a process's blackboard."""
