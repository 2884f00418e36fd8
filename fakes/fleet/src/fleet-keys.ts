/**
Secrets of the stand-in fleet; public, for tests and demonstrations only.
*/
export const fleetKeys = {
	/**
	Client account `sawmill`.
	*/
	caller: 'demo-caller-key',
	/**
	Client account `depot`.
	*/
	otherCaller: 'demo-other-caller-key',
	editor: 'demo-editor-token',
	viewer: 'demo-viewer-token',
	peer: 'demo-peer-token-0123456789',
} as const;
