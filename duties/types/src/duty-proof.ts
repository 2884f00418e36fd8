/**
Holder of a duty and its fencing token, sent with each duty call. The token increases with each holder.
*/
export type DutyProof = {
	readonly holder: string;
	readonly token: number;
};
