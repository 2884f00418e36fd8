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
export const failedSeeds: readonly FailedSeed[] = [];
