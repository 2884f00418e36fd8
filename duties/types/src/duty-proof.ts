/**
What a call of a duty carries: who holds the duty, and the fencing token, which rises with each holder.
*/
export type DutyProof = {
	readonly holder: string;
	readonly token: number;
};
