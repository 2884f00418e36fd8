/**
What the stand-in does wrong.

- `busy`: it refuses for its rate.
- `silent`: it answers nothing and does nothing.
- `late`: it answers nothing and does what was asked when `answerLate` is called.
- `none`: it has no spot replicas.
- `reject`: it finds fault with every call.
*/
export type DutyFault = 'busy' | 'silent' | 'late' | 'none' | 'reject';
