package experiment

// ShareErrors is for tests of the figure itself.
var ShareErrors = shareErrors
