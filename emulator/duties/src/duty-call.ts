/**
A call as the platform processed it.
*/
export type DutyCall = {
	readonly at: number;
	readonly node: number;
	readonly token: number;
	readonly subject: string;
	readonly isAccepted: boolean;
	/**
	Whether the platform had seen a higher fencing token.
	*/
	readonly isStale: boolean;
};
