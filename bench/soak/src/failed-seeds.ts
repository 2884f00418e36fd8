type FailedSeed = {
	readonly seed: number;
	readonly seconds: number;
	/**
	Why it failed, and what mended it.
	*/
	readonly cause: string;
};

/**
Seeds that failed once. They stay, so that what was mended stays mended.
*/
export const failedSeeds: readonly FailedSeed[] = [
	{
		seed: 5, seconds: 10, cause: 'A draining node closed connections whose answers still waited in them; it waits until they are sent.',
	},
	{
		seed: 19, seconds: 10, cause: 'A second SIGTERM ended a draining node at once; it goes on draining.',
	},
	{
		seed: 46, seconds: 10, cause: 'A request was taken from a sound endpoint and refused by the next one; the first attempt ends once the next endpoint has accepted.',
	},
	{
		seed: 2, seconds: 10, cause: 'An attempt was ended before the retry budget was asked; it is kept when the request cannot go on elsewhere.',
	},
];
