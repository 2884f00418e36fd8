import type {WireFormat} from '@valvesaddle/gateway-types';

const notRunStatus = 503;

/**
Wire format of emulated exchanges: request headers are the request's id, its urgency and the id of the last event received.
*/
export const emulatorWire: WireFormat = {
	readRequest() {
		throw new TypeError('emulated callers pass decoded requests');
	},
	writeRequest: (rawHeaders, {urgency, lastEventId}) => [...rawHeaders, String(urgency ?? 0), String(lastEventId)],
	readAnswer: (status, headers) => ({
		requestId: headers['x-request-id']?.toString(),
		isSigned: true,
		isNotRun: status === notRunStatus,
		isEventStream: true,
		isEncoded: false,
		isFramed: true,
		isMisdirected: false,
		retryAfterMs: headers['x-retry-after-ms'] === undefined ? undefined : Number(headers['x-retry-after-ms']),
		isLeaving: headers['x-leaving'] !== undefined,
		requestLimit: headers['x-request-limit'] === undefined ? undefined : Number(headers['x-request-limit']),
	}),
	writeAnswer: () => [],
};
