import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';

type LoadOptions = {
	readonly targets: readonly string[];
	readonly requestsPerS: number;
	readonly seconds: number;
};

/**
Subjects whose prompts share their first parts.
*/
const subjects = 300;
/**
Part of the requests that are drafts.
*/
const draftShare = 0.4;

const shapes = {
	question: {
		prefix: 'question', shared: 198, own: 628, output: 290,
	},
	draft: {
		prefix: 'draft', shared: 5382, own: 6610, output: 380,
	},
} as const;

/**
 Sends requests at an even rate to nodes in turn; resolves to the number that were answered whole.

 @example
 const served = await runRequests({targets: ['127.0.0.1:8080'], requestsPerS: 100, seconds: 10});
 */
export async function runRequests({targets, requestsPerS, seconds}: LoadOptions): Promise<number> {
	const agent = new Agent({connections: 8, pipelining: 1});
	const total = Math.round(requestsPerS * seconds);
	const startedAt = performance.now();
	let served = 0;

	async function sendOne(index: number): Promise<void> {
		const {prefix, shared, own, output} = shapes[Math.random() < draftShare ? 'draft' : 'question'];
		try {
			const response = await request(`http://${targets[index % targets.length]}/${prefix}/x`, {
				method: 'POST',
				dispatcher: agent,
				body: 'x'.repeat(own),
				headers: {
					host: 'permits.example',
					'x-attempt-id': `a${index}`,
					'x-deadline-ms': '12000',
					'x-model': 'm',
					'x-token-counts': `${shared + own},${output}`,
					'x-prompt-prefix': `${prefix}:${Math.round(shared / 10)},${prefix}${index % subjects}:${Math.round(shared * 9 / 10)},own${index}:${own}`,
				},
			});
			await response.body.text();
			served += response.statusCode === 200 ? 1 : 0;
		} catch {
			// It counts as not served.
		}
	}

	const open: Array<Promise<void>> = [];
	for (let index = 0; index < total; index++) {
		const dueMs = (index / requestsPerS * 1000) - (performance.now() - startedAt);
		if (dueMs > 1) {
			// eslint-disable-next-line no-await-in-loop -- the pause between two requests
			await wait(dueMs);
		}

		open.push(sendOne(index));
	}

	await Promise.all(open);
	await wait(Math.max(0, (seconds * 1000) - (performance.now() - startedAt)));
	await agent.destroy();
	return served;
}
