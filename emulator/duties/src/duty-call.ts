/**
A call as the platform carried it out.
*/
export type DutyCall = {
	readonly at: number;
	readonly node: number;
	readonly token: number;
	readonly subject: string;
	readonly isAccepted: boolean;
	/**
	Whether a higher token had been seen.
	*/
	readonly isStale: boolean;
};
