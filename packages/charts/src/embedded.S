/* The chart files as null-terminated text. They are embedded because an instance has no disk to read them from. */
    .section .rodata
    .global quetzalspoolOutcomeChart
quetzalspoolOutcomeChart:
    .incbin "outcome.toml"
    .byte 0
    .global quetzalspoolMemberChart
quetzalspoolMemberChart:
    .incbin "member.toml"
    .byte 0
    .global quetzalspoolReassignmentChart
quetzalspoolReassignmentChart:
    .incbin "reassignment.toml"
    .byte 0
    .section .note.GNU-stack,"",%progbits
