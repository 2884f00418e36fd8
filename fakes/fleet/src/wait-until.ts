import {setTimeout as delay} from 'node:timers/promises';

const pauseMs = 5;

/**
 Waits until a condition holds; there is no limit of its own, the test runner's applies.

 @example
 await waitUntil(() => router.status().state === 'ready');
 */
export async function waitUntil(isMet: () => boolean | Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- polls
	while (!await isMet()) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await delay(pauseMs);
	}
}
