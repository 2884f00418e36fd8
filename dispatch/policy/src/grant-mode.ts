/**
 Rule under which a slot is granted.

 - `urgent`: strict precedence; only urgent requests count against the limit.
 - `shared`: weighted fair share of the slots that remain within the limit.
 - `floor`: minimum share of a class, granted even while urgent requests fill the pool.
 */
export type GrantMode = 'urgent' | 'shared' | 'floor';
