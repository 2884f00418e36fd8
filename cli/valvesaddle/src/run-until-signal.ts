import process from 'node:process';

/**
 Waits for SIGTERM or SIGINT. A second signal ends the process at once.

 @example
 await runUntilSignal();
 */
export async function runUntilSignal(): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	process.once('SIGTERM', resolve);
	process.once('SIGINT', resolve);
	await promise;
	const stop = (): void => {
		process.exit(1);
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
}
