/**
How a link behaves: `open` passes bytes on, `slow` after a delay, `silent` passes none on and keeps connections open, `reset`
breaks them.
*/
export type LinkMode = 'open' | 'slow' | 'silent' | 'reset';
