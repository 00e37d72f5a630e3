"""Messages between the entry processes of galenaquay.

Contains the protobuf definitions and the code generated from them. The package
`galenaquay` handles the messages.
"""
