import type {Admission} from '@valvesaddle/admission';
import type {SharePrediction} from './share-prediction.ts';
import type {ShareRequest} from './share-request.ts';

/**
Shares of pools among route priorities and client accounts, at this node.
*/
export type Sharing = {
	/**
	Applies the accounts of a configuration.
	*/
	readonly configure: (accounts: ReadonlyArray<{readonly name: string; readonly weight?: number | undefined}>) => void;
	/**
	Records that a caller asked for a request.
	*/
	readonly recordAsked: (request: ShareRequest) => void;
	/**
	Records that an endpoint has started to answer a request.
	*/
	readonly recordServed: (request: Omit<ShareRequest, 'isReturned'>) => void;
	/**
	Decides on a request, given the decision without shares.
	*/
	readonly decide: (request: ShareRequest, prediction: SharePrediction, admission: Admission) => Admission;
};
