import {setTimeout as delay} from 'node:timers/promises';
import {startFakeServer} from '@valvesaddle/fake-http';
import type {FakeService} from './fake-service.ts';
import type {ServiceFault} from './service-fault.ts';

type FakeServiceOptions = {
	readonly host?: string;
	readonly port?: number;
};

/**
 Starts a stand-in for a register that gives out numbers: every call takes a new one.

 @example
 const service = await startFakeService();
 service.runs().get('{"truck":"PB 1234"}'); // how often it ran
 */
export async function startFakeService(options: FakeServiceOptions = {}): Promise<FakeService> {
	const runs = new Map<string, number>();
	let fault: ServiceFault | undefined;
	let delayMs = 0;
	let issued = 0;
	const statuses: Readonly<Partial<Record<ServiceFault, number>>> = {refuse: 503, fail: 500};

	const server = await startFakeServer({
		...options,
		async handle(request, response) {
			const status = fault === undefined ? undefined : statuses[fault];
			if (status !== undefined) {
				response.statusCode = status;
				response.end('no');
				return;
			}

			await delay(delayMs);
			issued++;
			runs.set(request.body, (runs.get(request.body) ?? 0) + 1);
			if (fault === 'drop-after') {
				response.destroy();
				return;
			}

			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify({number: issued, path: request.path}));
		},
	});

	return {
		...server,
		setFault(kind) {
			fault = kind;
		},
		setDelay(milliseconds) {
			delayMs = milliseconds;
		},
		runs: () => runs,
	};
}
