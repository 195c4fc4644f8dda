"""The buffer that all connections of a process read into.

It can be shared, since what is read has been copied or parsed before the event
loop reads from another connection.
"""

READ_BUFFER = memoryview(bytearray(65_536))
