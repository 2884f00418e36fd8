import type {WireFormat} from '@valvesaddle/gateway-types';

const notRunStatus = 503;

/**
Headers of the emulated exchanges: the request's id, its rank and the event after which it goes on.
*/
export const emulatorWire: WireFormat = {
	readRequest() {
		throw new TypeError('callers of the emulator bring decoded requests');
	},
	writeRequest: (rawHeaders, {urgency, lastEventId}) => [...rawHeaders, String(urgency ?? 0), String(lastEventId)],
	readAnswer: (status, headers) => ({
		requestId: headers['x-request-id']?.toString(),
		isSigned: true,
		isNotRun: status === notRunStatus,
		isEventStream: true,
		isEncoded: false,
		isMisdirected: false,
		retryAfterMs: headers['x-retry-after-ms'] === undefined ? undefined : Number(headers['x-retry-after-ms']),
		isLeaving: headers['x-leaving'] !== undefined,
	}),
	writeAnswer: () => [],
};
