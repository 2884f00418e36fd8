import {hashRequest} from '@valvesaddle/quarantine';
import type {CrashRecord} from './crash-record.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';

/**
 Creates the crash record of one request. While no crash is known, the request is not hashed.

 @example
 const crashes = createCrashRecord(options, request);
 crashes.isQuarantined(); // false
 */
export function createCrashRecord({quarantine, crashDetector}: Pick<ForwarderOptions, 'quarantine' | 'crashDetector'>, request: ForwardRequest): CrashRecord {
	/**
	Incarnations whose connections broke within this request.
	*/
	const broken = new Set<string>();
	let digest: string | undefined;

	function getDigest(): string {
		digest ??= hashRequest({...request, host: request.route.host, account: request.account?.name});
		return digest;
	}

	return {
		getDigest,
		isQuarantined: () => (broken.size > 0 || !quarantine.isEmpty()) && quarantine.isQuarantined(getDigest(), broken),
		getIsolationKey: () => !quarantine.isEmpty() && quarantine.isSuspect(getDigest()) ? getDigest() : undefined,
		recordBroken(incarnation) {
			broken.add(incarnation);
			crashDetector.recordBroken(incarnation, getDigest());
		},
		recordAnswered() {
			if (!quarantine.isEmpty()) {
				quarantine.recordAnswered(getDigest());
			}
		},
	};
}
