import process from 'node:process';

/**
 Waits for SIGTERM or SIGINT. A later SIGINT ends the process at once; SIGTERM may be repeated by a supervisor and is ignored then.

 @example
 await runUntilSignal();
 */
export async function runUntilSignal(): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	process.on('SIGTERM', resolve);
	process.once('SIGINT', resolve);
	await promise;
	process.once('SIGINT', () => {
		process.exit(1);
	});
}
