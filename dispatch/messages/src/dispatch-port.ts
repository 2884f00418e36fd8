import type {AcquireReply} from './acquire-reply.ts';
import type {AcquireRequest} from './acquire-request.ts';
import type {CancelMessage} from './cancel-message.ts';
import type {ProgressMessage} from './progress-message.ts';
import type {RegisterRequest} from './register-request.ts';
import type {ReleaseReport} from './release-report.ts';

/**
Port of a dispatcher, local or remote.
*/
export type DispatchPort = {
	readonly acquire: (request: AcquireRequest) => Promise<AcquireReply>;
	readonly cancel: (message: CancelMessage) => void;
	readonly release: (report: ReleaseReport) => void;
	readonly progress: (message: ProgressMessage) => void;
	readonly register: (request: RegisterRequest) => void;
};
