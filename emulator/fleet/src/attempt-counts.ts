/**
Attempts that nodes ended on suspicion in one emulation.
*/
export type AttemptCounts = {
	/**
	Attempts ended on suspicion, and those of them whose endpoint counted as stalled by the logged cause.
	*/
	readonly ended: number;
	readonly endedAsStalled: number;
	/**
	Those whose whole answer the engine had sent before.
	*/
	readonly endedAnswered: number;
	/**
	Those that were sent again, by what became of them: the repeat was answered earlier than the attempt would have ended; the attempt
	would have ended earlier than the repeat did, or the repeat had no answer; neither would have been answered.
	*/
	readonly repeats: number;
	readonly repeatsOfUse: number;
	readonly repeatsLater: number;
	readonly repeatsInVain: number;
	/**
	Those that were not sent again, though they would have ended.
	*/
	readonly endedForNothing: number;
	/**
	Work of the engines that was thrown away with them.
	*/
	readonly lostPromptTokens: number;
	readonly lostOutputTokens: number;
};
