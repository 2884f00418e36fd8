import type {behaviours} from './behaviours.ts';
import type {ArrivedRequest} from './arrived-request.ts';
import type {EndpointBehaviour} from './endpoint-behaviour.ts';

/**
A stand-in for an endpoint.
*/
export type FakeEndpoint = {
	readonly address: string;
	readonly setBehaviour: (behaviour: EndpointBehaviour) => void;
	/**
	Answers requests that were left without an answer, as another behaviour does.
	*/
	readonly answerOpen: (behaviour: keyof typeof behaviours) => void;
	/**
	Reads no further in a request's body until it is told to go on.
	*/
	readonly holdBodies: () => void;
	/**
	First lines of the requests of whose bodies a part is not read yet.
	*/
	readonly heldBodies: () => readonly string[];
	/**
	Goes on with bodies and answers that were held back; nothing is held back from then on.
	*/
	readonly resume: () => void;
	readonly arrived: () => readonly ArrivedRequest[];
	/**
	Connections that the other side has closed.
	*/
	readonly closedConnections: () => number;
	readonly close: () => Promise<void>;
};
