/**
Exit codes of the command line.
*/
export const exitCodes = {
	done: 0,
	failed: 1,
	/**
	Settings, configuration or arguments are wrong; nothing was changed.
	*/
	invalid: 2,
	/**
	Another change was accepted first; nothing was changed.
	*/
	conflict: 3,
	/**
	Whether the change was accepted is unknown; apply again with the same change id.
	*/
	unknown: 4,
} as const;
