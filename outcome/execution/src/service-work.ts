/**
Call to a plain service.
*/
export type ServiceWork = {
	readonly kind: 'service';
	readonly method: string;
	readonly path: string;
	readonly contentType: string;
	readonly body: string;
};
