/**
A call as the platform carried it out.
*/
export type DutyCall = {
	readonly at: number;
	readonly machine: number;
	readonly token: number;
	readonly subject: string;
	readonly isAccepted: boolean;
	/**
	Whether a higher token had been seen.
	*/
	readonly isOutdated: boolean;
};
