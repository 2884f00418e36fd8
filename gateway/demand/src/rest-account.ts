/**
Name of the row that sums up small accounts.
*/
export const restAccount = '*';
