import type {ForwardRequest} from './forward-request.ts';
import type {Reply} from './reply.ts';

/**
Options of `createForwardTask`.
*/
export type ForwardTaskOptions = {
	readonly request: ForwardRequest;
	readonly reply: Reply;
	readonly onEnd: () => void;
};
