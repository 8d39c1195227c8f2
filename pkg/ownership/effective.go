package ownership

// effectiveClaims holds the claim in effect for each cell that is claimed.
type effectiveClaims struct {
	owners map[string]Claim // by cell
	counts map[string]int   // number of cells owned, by the host's address
}

// claimsInEffect returns the claims that are in effect. They are cached until a claim
// changes.
func (t *Table) claimsInEffect() *effectiveClaims {
	if t.effective != nil {
		return t.effective
	}
	s := &effectiveClaims{owners: map[string]Claim{}, counts: map[string]int{}}
	for cell, byOwner := range t.claims {
		claim, found := newestOf(byOwner)
		if !found {
			continue
		}
		s.owners[cell] = claim
		s.counts[claim.Owner]++
	}
	t.effective = s
	return s
}

// newestOf returns the claim with the highest token.
func newestOf(byOwner map[string]Claim) (Claim, bool) {
	var newest Claim
	found := false
	for _, claim := range byOwner {
		if !found || claim.Token > newest.Token {
			newest, found = claim, true
		}
	}
	return newest, found
}
