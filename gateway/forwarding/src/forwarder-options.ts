import type {AdmissionSettings, WaitBaselines} from '@valvesaddle/admission';
import type {Sharing} from '@valvesaddle/demand';
import type {ExchangeClient} from '@valvesaddle/exchange';
import type {WireFormat} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {CrashDetector, Quarantine} from '@valvesaddle/quarantine';
import type {RetryBudget} from '@valvesaddle/retry-budget';
import type {Selector} from '@valvesaddle/selection';
import type {WaitingRoom} from '@valvesaddle/waiting-room';

/**
Options of `createForwarder`.
*/
export type ForwarderOptions = {
	readonly wire: WireFormat;
	readonly selector: Selector;
	readonly exchanges: ExchangeClient;
	readonly budget: RetryBudget;
	readonly waits: WaitBaselines;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	/**
	Called once for each request that started to run, with its client account's name (empty without one) and the time in
	milliseconds on the monotonic clock.
	*/
	readonly onStarted?: (account: string, at: number) => void;
	/**
	Set when pools are shared among route priorities and client accounts.
	*/
	readonly sharing?: Sharing;
	readonly admission: AdmissionSettings;
	/**
	Where requests wait for an endpoint with room; without it, they are sent or refused at once.
	*/
	readonly room?: WaitingRoom | undefined;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
