/**
Takes a waiting request back.
*/
export type CancelMessage = {
	/**
	Duty of the dispatcher; see `DutyIndex`.
	*/
	readonly duty: string;
	readonly requestId: string;
};
