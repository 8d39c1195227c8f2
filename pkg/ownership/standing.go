package ownership

// standing is which claims stand, one for each cell that is claimed.
type standing struct {
	owners map[string]Claim // by cell
	counts map[string]int   // of the cells that a host owns, by its address
}

// standingClaims returns the claims that stand. They are worked out once for all
// questions until a claim changes.
func (t *Table) standingClaims() *standing {
	if t.standing != nil {
		return t.standing
	}
	s := &standing{owners: map[string]Claim{}, counts: map[string]int{}}
	for cell, byOwner := range t.claims {
		claim, found := newestOf(byOwner)
		if !found {
			continue
		}
		s.owners[cell] = claim
		s.counts[claim.Owner]++
	}
	t.standing = s
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
