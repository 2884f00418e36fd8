import type {
	AcquireReply,
	AcquireRequest,
	CancelMessage,
	ProgressMessage,
	RegisterRequest,
	ReleaseReport,
} from '@valvesaddle/messages';

/**
The dispatcher's methods, on this node or another.
*/
export type DispatchPort = {
	readonly acquire: (request: AcquireRequest) => Promise<AcquireReply>;
	readonly cancel: (message: CancelMessage) => void;
	readonly release: (report: ReleaseReport) => void;
	readonly progress: (message: ProgressMessage) => void;
	readonly register: (request: RegisterRequest) => void;
};
