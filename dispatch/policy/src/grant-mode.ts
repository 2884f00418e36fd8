/**
 Under which rule a slot is given.

 - `urgent`: strict precedence; slots that lower work holds do not count against it.
 - `shared`: weighted fair share of what the learned limit leaves.
 - `floor`: the small part that a class gets even when urgent work fills the pool.
 */
export type GrantMode = 'urgent' | 'shared' | 'floor';
