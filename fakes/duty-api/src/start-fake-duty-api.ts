import {startFakeServer, type FakeRequest} from '@valvesaddle/fake-http';
import type {DutyFault} from './duty-fault.ts';
import type {FakeDutyApi} from './fake-duty-api.ts';
import type {FakeDutyCall} from './fake-duty-call.ts';

const answers: Readonly<Partial<Record<DutyFault, number>>> = {busy: 429, reject: 400};

/**
 Starts a stand-in for the platform's API of duties. It refuses a token that is lower than one it has seen for the same duty and
 subject: all windows are one, a service and a zone are one.

 @example
 const api = await startFakeDutyApi();
 api.setFault('late');
 */
export async function startFakeDutyApi(): Promise<FakeDutyApi> {
	const calls: FakeDutyCall[] = [];
	const tokens = new Map<string, number>();
	const late: FakeRequest[] = [];
	let fault: DutyFault | undefined;

	function applyCall({path, headers, body: text}: FakeRequest): number {
		const body = JSON.parse(text) as Readonly<Record<string, unknown>>;
		const token = Number(headers['x-fencing-token']);
		const subject = path === '/usage' ? path : `${path} ${String(body.service)} ${String(body.zone)}`;
		const highest = tokens.get(subject) ?? 0;
		tokens.set(subject, Math.max(token, highest));
		const isRefused = token < highest || (body.spot === true && fault === 'none');
		const status = isRefused ? 409 : 200;
		calls.push({
			path, holder: String(headers['x-duty-holder']), token, body, status,
		});
		return status;
	}

	const server = await startFakeServer({
		handle(request, response) {
			if (fault === 'late') {
				late.push(request);
			}

			if (fault === 'late' || fault === 'silent') {
				return;
			}

			const status = (fault === undefined ? undefined : answers[fault]) ?? applyCall(request);
			response.writeHead(status, {'content-type': 'application/json'}).end('{}');
		},
	});

	return {
		...server,
		calls: () => calls,
		setFault(kind) {
			fault = kind;
		},
		answerLate() {
			for (const request of late.splice(0)) {
				applyCall(request);
			}
		},
	};
}
